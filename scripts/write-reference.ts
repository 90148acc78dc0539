import { readFileSync, writeFileSync } from 'node:fs'
import { configurationSchema } from '../src/config/configuration-schema.js'
import { settingsSchema } from '../src/config/settings-schema.js'
import { writeKeyTable } from '../src/config/write-key-table.js'

// Puts the tables of docs/CONFIGURATION.md anew, in the order in which they stand there, from the schemas.
const PAGE = 'docs/CONFIGURATION.md'
const TABLE = /^\| key \|.*\n(?:\|.*(?:\n|$))+/gm

const tables = [configurationSchema, settingsSchema].map(writeKeyTable)
writeFileSync(PAGE, readFileSync(PAGE, 'utf8').replace(TABLE, () => `${tables.shift()!}\n`))
