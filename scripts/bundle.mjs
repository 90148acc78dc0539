// Bundles the command line, the demo and the benchmarks; with --binary also builds the single executable.
import { build } from 'esbuild'
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs'
import { resolve } from 'node:path'

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
const entries = { citronwheel: 'src/main.ts', demo: 'demo/main.ts', bench: 'bench/main.ts', hunt: 'bench/hunt/main.ts', soak: 'bench/soak/main.ts' }

const common = {
  outdir: 'dist',
  bundle: true,
  platform: 'node',
  target: 'node20',
  // V8 keeps the source text in its heap, so source maps stay in their own files and whitespace is removed. Names are not
  // minified, so that stack traces stay readable; `node --enable-source-maps` adds the lines.
  sourcemap: 'linked',
  sourcesContent: false,
  minifyWhitespace: true,
  legalComments: 'linked',
  charset: 'ascii',
  logLevel: 'warning',
  alias: { 'ts-results': resolve('node_modules/ts-results/esm/index.js') },
  // cbor-extract is an optional native module of cbor-x; trying to load it makes the single executable print a warning.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  external: ['cbor-extract']
}

mkdirSync('dist', { recursive: true })
await build({ ...common, entryPoints: entries, format: 'cjs', outExtension: { '.js': '.cjs' } })
// The coordination library, one module for use in other programs.
await build({ ...common, minifyWhitespace: false, entryPoints: { coordination: 'src/coordination/index.ts' }, format: 'esm', outExtension: { '.js': '.mjs' } })

if (process.argv.includes('--binary')) buildBinary()

function buildBinary () {
  writeFileSync('dist/sea.json', JSON.stringify({
    main: 'dist/citronwheel.cjs',
    output: 'dist/sea.blob',
    disableExperimentalSEAWarning: true
  }))
  execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'ignore' })
  copyFileSync(process.execPath, 'dist/citronwheel')
  chmodSync('dist/citronwheel', 0o755)
  execFileSync('node_modules/.bin/postject', ['dist/citronwheel', 'NODE_SEA_BLOB', 'dist/sea.blob', '--sentinel-fuse', FUSE], { stdio: 'ignore' })
}
