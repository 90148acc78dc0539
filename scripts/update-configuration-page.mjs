// Writes the tables of docs/CONFIGURATION.md anew from the schemas: node --import=tsx scripts/update-configuration-page.mjs
import { readFileSync, writeFileSync } from 'node:fs'
import { configurationSchema } from '../src/config/configuration-schema.ts'
import { settingsSchema } from '../src/config/settings-schema.ts'
import { writeKeyTable } from '../src/config/write-key-table.ts'

const PAGE = 'docs/CONFIGURATION.md'
const TABLE = /^\| key \|.*\n(?:\|.*\n)+/gm
const tables = [configurationSchema, settingsSchema].map(schema => writeKeyTable(schema) + '\n')
let next = 0
writeFileSync(PAGE, readFileSync(PAGE, 'utf8').replace(TABLE, () => tables[next++]))
