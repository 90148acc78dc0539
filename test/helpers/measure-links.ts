// Prints the bytes per second that the links of an idle fleet carry, by message type, including authentication and framing:
// npx tsx --tsconfig tsconfig.run.json test/helpers/measure-links.ts 6 20
import { request } from 'undici'
import { Fleet } from '../../harness/fleet.js'
import { readFolder } from '../../src/config/read-folder.js'

const WARM_UP = 5_000
const MS_PER_SECOND = 1_000
const [size = 6, seconds = 20] = process.argv.slice(2).map(Number)

async function readBytes (fleet: Fleet): Promise<ReadonlyMap<string, number>> {
  const sums = new Map<string, number>()
  for (const daemon of fleet.daemons) {
    const text = await (await request(`${fleet.url(daemon)}/metrics`)).body.text()
    for (const [, labels, value] of text.matchAll(/^citronwheel_peer_bytes_total\{(.*)\} (\d+)$/gm)) sums.set(labels!, (sums.get(labels!) ?? 0) + Number(value))
  }
  return sums
}

const fleet = await Fleet.start()
await Promise.all(Array.from({ length: size }, async (_, i) => await fleet.addDaemon(`entry-${i}`, `domain-${i % 3}`)))
await fleet.apply(readFolder('demo/folder').unwrap())
await new Promise(resolve => setTimeout(resolve, WARM_UP))
const before = await readBytes(fleet)
await new Promise(resolve => setTimeout(resolve, seconds * MS_PER_SECOND))
const after = await readBytes(fleet)
for (const [labels, sum] of after) console.log(labels, Math.round((sum - (before.get(labels) ?? 0)) / size / seconds), 'B/s a daemon')
await fleet.stop()
process.exit(0)
