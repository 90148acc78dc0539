import { readFileSync, writeFileSync } from 'node:fs'
import { configurationSchema } from '../src/config/configuration-schema.js'
import { settingsSchema } from '../src/config/settings-schema.js'
import { writeKeyTable } from '../src/config/write-key-table.js'

// Regenerates the tables of docs/CONFIGURATION.md, in their order on the page, from the schemas.
const PAGE = 'docs/CONFIGURATION.md'
const TABLE = /^\| key \|.*\n(?:\|.*(?:\n|$))+/gm

const tables = [configurationSchema, settingsSchema].map(writeKeyTable)
writeFileSync(PAGE, readFileSync(PAGE, 'utf8').replace(TABLE, () => `${tables.shift()!}\n`))
