// Bundles each case's script with the stand-ins that it starts.
import { existsSync } from 'node:fs'
import { build } from 'esbuild'

const cases = [6, 7, 8, 9, 10].filter(n => existsSync(`review/${n}/run.mjs`))
await build({
  entryPoints: Object.fromEntries(cases.map(n => [`case-${n}`, `review/${n}/run.mjs`])),
  outdir: 'target/review-2',
  outExtension: { '.js': '.cjs' },
  format: 'cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  logLevel: 'warning',
  alias: { 'ts-results': './node_modules/ts-results/esm/index.js' }
})
