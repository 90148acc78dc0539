// Writes V8's code cache of a program: node FLAGS scripts/create-code-cache.mjs PROGRAM CACHE. V8 accepts a cache only under the flags that it
// was made with, so they are those with which the program runs.
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { basename } from 'node:path'
import vm from 'node:vm'

const [, , program, cache] = process.argv
const script = new vm.Script(readFileSync(program, 'utf8'), { filename: basename(program) })
const loaded = { exports: {} }
// The cache includes functions compiled while the program's modules load.
script.runInThisContext()(createRequire(import.meta.url), loaded, loaded.exports)
writeFileSync(cache, script.createCachedData())
process.exit(0)
