// Prints what membership costs and how soon it tells, for each number of members given:
// npx tsx --tsconfig tsconfig.run.json test/helpers/measure-membership.ts 6 48 380
import { MemberSimulation } from './simulate-members.js'

const WARM_UP = 300_000
const STEADY = 20_000
const AFTER_DEATH = 20_000
const MS_PER_SECOND = 1_000

for (const size of process.argv.slice(2).map(Number)) {
  const fleet = new MemberSimulation(size, { measure: true })
  fleet.run(WARM_UP)
  const whole = fleet.names.every(name => fleet.agree(name, 'alive'))
  const before = fleet.bytes
  const started = performance.now()
  fleet.run(STEADY)
  const spent = performance.now() - started
  const rate = (fleet.bytes - before) / size / (STEADY / MS_PER_SECOND)
  const died = fleet.now
  const atDeath = fleet.bytes
  let suspected = 0
  let dropped = 0
  fleet.stopped.add('entry-1')
  fleet.run(AFTER_DEATH, () => {
    if (suspected === 0 && fleet.names.some(name => fleet.see(name, 'entry-1') === 'suspect')) suspected = fleet.now - died
    if (dropped === 0 && fleet.agree('entry-1', 'dead')) dropped = fleet.now - died
  })
  console.log(JSON.stringify({
    members: size,
    whole,
    sentBytesPerSecond: Math.round(rate),
    sentBytesPerSecondAroundDeath: Math.round((fleet.bytes - atDeath) / size / (AFTER_DEATH / MS_PER_SECOND)),
    coreShare: Number((spent / STEADY / size).toFixed(5)),
    suspectedAfter: suspected,
    droppedByAllAfter: dropped
  }))
}
