/** Groups items by a key. Keys keep the order of their first occurrence. */
export function groupBy<Item, Key>(
  items: Iterable<Item>,
  getKey: (item: Item) => Key,
): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>();
  for (const item of items) {
    const key = getKey(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}
