// Bundles the program that runs on the users' machines: one file below target/.
import { build } from 'esbuild'
import { resolve } from 'node:path'

await build({
  entryPoints: { citronwheel: 'platform/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  format: 'cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  minifyWhitespace: true,
  keepNames: true,
  legalComments: 'none',
  charset: 'ascii',
  logLevel: 'warning',
  alias: { 'ts-results': resolve('node_modules/ts-results/esm/index.js') },
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  external: ['cbor-extract']
})
