/**
 * Generates types and validators from the JSON Schemas in `schemas/`. With
 * `--check`, writes nothing and fails if the committed files differ.
 */
import { mkdir, readdir, readFile, writeFile } from "node:fs/promises";
import { basename, join } from "node:path";
import { fileURLToPath } from "node:url";
import Ajv from "ajv";
import standaloneCode from "ajv/dist/standalone/index.js";
import { compile } from "json-schema-to-typescript";

const packageDir = fileURLToPath(new URL("..", import.meta.url));
const schemaDir = join(packageDir, "schemas");
const outputDir = join(packageDir, "src", "generated");

/** Schema whose validator only tests use; separate, so that no program includes it. */
const LOG_EVENTS = "log_events";
const HEADER =
  "// Generated from packages/schema/schemas by `npm run generate`.\n";

const VALIDATORS_HEADER = `${HEADER}// @ts-nocheck
import { createRequire } from "node:module";
const require = createRequire(import.meta.url);
`;

const VALIDATORS_IMPORT = 'import type { Validator } from "./validators.ts";\n';
const VALIDATORS_DECLARATION = `export interface ValidationError {
  readonly instancePath: string;
  readonly keyword: string;
  readonly message?: string;
  readonly params: Readonly<Record<string, unknown>>;
}
export interface Validator {
  (data: unknown): boolean;
  readonly errors?: readonly ValidationError[] | null;
}
`;

async function main(options) {
  const schemas = await readSchemas();
  const files = new Map();
  for (const [name, schema] of schemas) {
    files.set(`${name}.ts`, await generateTypes(name, schema));
  }
  const programSchemas = [...schemas].filter(([name]) => name !== LOG_EVENTS);
  files.set(
    "validators.ts",
    generateValidators(new Map(programSchemas), VALIDATORS_DECLARATION),
  );
  files.set(
    "log_event_validator.ts",
    generateValidators(
      new Map([[LOG_EVENTS, schemas.get(LOG_EVENTS)]]),
      VALIDATORS_IMPORT,
    ),
  );
  files.set("settings_schema.ts", generateSettingsSchema(schemas));
  if (options.check) {
    await checkFiles(files);
  } else {
    await writeFiles(files);
  }
}

async function readSchemas() {
  const names = (await readdir(schemaDir)).filter((name) =>
    name.endsWith(".schema.json")
  ).sort();
  const schemas = new Map();
  for (const name of names) {
    const text = await readFile(join(schemaDir, name), "utf8");
    schemas.set(basename(name, ".schema.json"), JSON.parse(text));
  }
  return schemas;
}

async function generateTypes(name, schema) {
  const types = await compile(structuredClone(schema), name, {
    bannerComment: HEADER,
    additionalProperties: false,
    unreachableDefinitions: true,
    format: true,
  });
  return types;
}

/**
 * Generates a validator per schema and per object definition, named after its
 * title. `typeDeclaration` declares or imports the type of the validators.
 */
function generateValidators(schemas, typeDeclaration) {
  const ajv = new Ajv({
    allErrors: true,
    discriminator: true,
    useDefaults: false,
    code: { source: true, esm: true },
  });
  const exported = {};
  for (const schema of schemas.values()) {
    ajv.addSchema(schema);
    exported[`validate${schema.title}`] = schema.$id;
    for (const [name, definition] of Object.entries(schema.definitions ?? {})) {
      if (definition.type === "object") {
        exported[`validate${name}`] = `${schema.$id}#/definitions/${name}`;
      }
    }
  }
  const code = standaloneCode(ajv, exported);
  const typed = Object.keys(exported).map((name) =>
    `const ${name}Typed: Validator = ${name};\nexport { ${name}Typed as ${name} };\n`
  ).join("");
  const body = code.replace(
    /export const (validate\w+) = /g,
    "const $1 = ",
  ).replace(/^"use strict";/, "");
  return `${VALIDATORS_HEADER}${typeDeclaration}${body}\n${typed}`;
}

function generateSettingsSchema(schemas) {
  const schema = schemas.get("settings");
  const text = JSON.stringify(schema, null, 2);
  return `${HEADER}/** The schema of the process settings, for flags and help. */
export const settingsSchema = ${text} as const;
`;
}

async function writeFiles(files) {
  await mkdir(outputDir, { recursive: true });
  for (const [name, text] of files) {
    await writeFile(join(outputDir, name), text);
  }
}

async function checkFiles(files) {
  for (const [name, text] of files) {
    const committed = await readFile(join(outputDir, name), "utf8").catch(
      () => "",
    );
    if (committed !== text) {
      throw new Error(
        `Generated file ${name} differs from its schema; run npm run generate and commit it`,
      );
    }
  }
}

await main({ check: process.argv.includes("--check") });
