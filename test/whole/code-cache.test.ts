import test from 'ava'
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { parse } from 'smol-toml'

const { roles } = parse(readFileSync('deploy/system.toml', 'utf8')) as { readonly roles: Readonly<Record<string, { readonly run: string }>> }

/** Prints whether V8 rejects the code cache of a role. */
const CHECK = `
const { readFileSync } = require('node:fs')
const { Script } = require('node:vm')
const [, text, cache] = process.argv
console.log(new Script(readFileSync(text, 'utf8'), { filename: 'program.js', cachedData: readFileSync(cache) }).cachedDataRejected)
`

// A cache that was made under other flags is rejected without a word, and each start compiles the whole program.
for (const [name, { run }] of Object.entries(roles)) {
  test(`V8 accepts the code cache of the role ${name} under the flags that it runs with`, t => {
    const [, flags, role] = /^node (.*)target\/citronwheel\.cjs (\w+)$/.exec(run)!
    const used = execFileSync(process.execPath, [...flags!.trim().split(' '), '-e', CHECK, 'target/program.js', `target/program-${role}.cache`])
    t.is(used.toString().trim(), 'false')
  })
}
