// Bundles the daemon for the users' machines into target/, with the V8 code cache of each role, which its loader uses.
import { build } from 'esbuild'
import { execFileSync } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { resolve } from 'node:path'
import { parse } from 'smol-toml'

/** Replacements of packages by the one module of each that the daemon uses, so that it loads less code when it starts. */
const replacements = {
  undici: 'scripts/undici-core.cjs',
  'node:http2': 'scripts/no-http2.cjs',
  'hdr-histogram-js': 'node_modules/hdr-histogram-js/dist/HistogramBuilder.js',
  '@dabh/diagnostics': 'scripts/no-diagnostics.cjs',
  '@colors/colors/safe': 'scripts/no-colors.cjs'
}
const replaceModules = {
  name: 'use parts',
  setup: ({ onResolve }) => onResolve({ filter: new RegExp(`^(${Object.keys(replacements).join('|')})$`) }, ({ path }) => ({ path: resolve(replacements[path]) }))
}

const { outputFiles: [bundle] } = await build({
  entryPoints: ['platform/main.ts'],
  write: false,
  format: 'cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  minifyWhitespace: true,
  legalComments: 'none',
  charset: 'ascii',
  logLevel: 'warning',
  alias: { 'ts-results': resolve('node_modules/ts-results/esm/index.js') },
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  external: ['cbor-extract'],
  plugins: [replaceModules]
})
const program = `(function (require, module, exports) {${bundle.text}\n})`
await build({ entryPoints: ['platform/load.cjs'], outfile: 'target/citronwheel.cjs', format: 'cjs', platform: 'node', target: 'node20' })
writeFileSync('target/program.js', program)
for (const { run } of Object.values(parse(readFileSync('deploy/system.toml', 'utf8')).roles)) {
  const [, flags, role] = /^node (.*)target\/citronwheel\.cjs (\w+)$/.exec(run)
  execFileSync(process.execPath, [...flags.trim().split(' '), 'scripts/create-code-cache.mjs', 'target/program.js', `target/program-${role}.cache`])
}
