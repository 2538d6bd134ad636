/** Groups items by a key, in the order of their first appearance. */
export function groupBy<Item, Key>(
  items: Iterable<Item>,
  findKey: (item: Item) => Key,
): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>();
  for (const item of items) {
    const key = findKey(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}
