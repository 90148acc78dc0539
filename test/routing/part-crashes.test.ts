import 'reflect-metadata'
import test from 'ava'
import type { Random } from '../../src/kernel/random.js'
import { simulatePartCrashes, type PartCrashOptions, type PartCrashOutcome, type PartTraffic } from '../helpers/simulate-part-crashes.js'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]
/** The users' bounds: servers lost before the decision is in force, and requests and time after it, ms. */
const MOST_LOST = 5
const MOST_SENT = 3
const CONTACT = 3_000
/** How long after the last loss an item, which is owed although its part is refused, may try the part, ms. */
const ITEM_TRIAL_WAIT = 10_000

const sound: PartTraffic = { parts: random => ['common', `topic${random.below(6)}`], rate: 25, time: 800 }
const items: PartTraffic = { parts: () => ['menu'], rate: 3, time: 5_000, isItem: true, attempts: 3 }
const other: PartTraffic = { parts: random => ['swap', `food${random.below(3)}`], rate: 4, time: 800 }
const usual = [sound, items, other]

function bad (parts: (random: Random) => readonly string[], more: Partial<PartTraffic> = {}): PartTraffic {
  return { parts, rate: 3, from: 3_000, time: 800, ...more }
}

interface Case extends Omit<PartCrashOptions, 'seed'> {
  readonly title: string
  /** Parts that crash engines; none may be accused otherwise. */
  readonly guilty?: readonly string[]
  /** Servers that may be lost to requests: five for each group of daemons that reach one another. */
  readonly mostLost?: number
  /** Trials of a refused part by items that are due within the run, of 32 s, each after `ITEM_TRIAL_WAIT` without a loss: the users leave 13 s. */
  readonly itemTrials?: number
}

const inMiddle = bad(() => ['common', 'bad', 'topic1'])
const always = (parts: readonly string[]): number => parts.includes('bad') ? 1 : 0

const places: readonly Case[] = [
  { title: 'in the middle', traffic: [...usual, inMiddle], crashes: always, guilty: ['bad'] },
  { title: 'first', traffic: [...usual, bad(() => ['bad', 'common'])], crashes: always, guilty: ['bad'] },
  { title: 'moving between places', traffic: [...usual, bad(random => random.below(2) === 0 ? ['bad', 'topic2'] : ['common', 'topic3', 'bad'])], crashes: always, guilty: ['bad'] },
  { title: 'the only one', traffic: [...usual, bad(() => ['bad'])], crashes: always, guilty: ['bad'] },
  { title: 'of streams, jobs and repeats at once', traffic: [...usual, inMiddle, bad(() => ['menu', 'bad'], { rate: 1, isItem: true, attempts: 3 })], crashes: always, guilty: ['bad'], itemTrials: 2 }
]

const timings: readonly Case[] = [
  { title: 'late in the answer', traffic: [...usual, inMiddle], crashes: always, crashTime: 600, guilty: ['bad'] },
  { title: 'engines are back under their ids', traffic: [...usual, inMiddle], crashes: always, keepsId: true, guilty: ['bad'] },
  { title: 'from the first request on', traffic: [...usual, { ...inMiddle, from: 0 }], crashes: always, guilty: ['bad'] },
  { title: 'requests come in a crowd', traffic: [...usual, { ...inMiddle, rate: 12 }], crashes: always, guilty: ['bad'] }
]

const learners: readonly Case[] = [
  { title: 'a tenth of the messages is lost', traffic: [...usual, inMiddle], crashes: always, lost: 0.1, guilty: ['bad'] },
  { title: 'two daemons are cut off meanwhile', traffic: [...usual, inMiddle], crashes: always, cut: { daemons: 2, from: 2_000, to: 9_000 }, guilty: ['bad'], mostLost: 3 * MOST_LOST },
  { title: 'one daemon starts again', traffic: [...usual, inMiddle], crashes: always, restart: { daemons: 1, at: 10_000 }, guilty: ['bad'] },
  { title: 'all daemons start again', traffic: [...usual, inMiddle], crashes: always, restart: { daemons: 8, at: 10_000 }, guilty: ['bad'] }
]

// Guards against a part that crashes one server after the other in requests of which no two are alike.
for (const one of [...places, ...timings, ...learners]) {
  test(`a part that crashes servers is refused before a sixth is lost, and sound requests run as before: ${one.title}`, async t => {
    const findings: string[] = []
    for (const seed of SEEDS) findings.push(...findFaults(one, await simulatePartCrashes({ ...one, seed })).map(fault => `seed ${seed}: ${fault}`))
    t.deepEqual(findings, [])
  })
}

const endings: readonly Case[] = [
  { title: 'one a second', traffic: usual, ends: Array.from({ length: 15 }, (_, i) => [2_000 + i * 1_000, 1] as const) },
  { title: 'five at once, as the fleet has just begun', traffic: usual, ends: [[400, 5]] },
  { title: 'all at once', traffic: usual, ends: [[400, 6], [6_000, 6]] },
  { title: 'five at once, three times', traffic: usual, ends: [[3_000, 5], [7_000, 5], [11_000, 5]] },
  { title: 'while every request shares a part', traffic: [sound], ends: Array.from({ length: 20 }, (_, i) => [1_000 + i * 700, 2] as const) },
  { title: 'while only jobs run', traffic: [items], ends: Array.from({ length: 12 }, (_, i) => [1_500 + i * 1_300, 1] as const) },
  { title: 'as all daemons have just started', traffic: usual, restart: { daemons: 8, at: 5_000 }, ends: [[5_050, 5], [6_000, 3]] }
]

// Guards against the refusal of a sound part that was in flight at servers which ended by themselves.
for (const one of endings) {
  test(`no sound part is accused when servers end by themselves: ${one.title}`, async t => {
    const findings: string[] = []
    for (const seed of SEEDS) {
      const { refused, outcomes } = await simulatePartCrashes({ ...one, seed })
      const refusals = outcomes.filter(({ outcome }) => outcome === 'refused').length
      if (refused.length + refusals > 0) findings.push(`seed ${seed}: refused ${refused.join()}, ${refusals} requests`)
    }
    t.deepEqual(findings, [])
  })
}

// Guards against a part that is cleared by each complete answer and crashes one server after the other.
test('a part that crashes servers only sometimes is refused before a sixth is lost', async t => {
  const counts: number[] = []
  for (const chance of [0.5, 0.75]) {
    for (const seed of SEEDS) {
      const { crashed, refused } = await simulatePartCrashes({ seed, traffic: [...usual, inMiddle], crashes: parts => parts.includes('bad') ? chance : 0 })
      t.deepEqual(refused, ['bad'], `chance ${chance}, seed ${seed}, ${crashed.length} lost`)
      counts.push(crashed.length)
    }
  }
  t.true(Math.max(...counts) <= MOST_LOST, counts.join())
})

// Guards against a part that stays refused at some daemons although an operator has released it.
test('a part whose object an operator deletes runs again at all daemons', async t => {
  for (const seed of SEEDS) {
    const { refused, outcomes } = await simulatePartCrashes({ seed, traffic: [...usual, inMiddle], crashes: always, harmlessFrom: 8_000, releasedAt: 9_000 })
    t.deepEqual(refused, [], `seed ${seed}`)
    const late = outcomes.filter(({ at, parts }) => parts.includes('bad') && at > 16_000)
    t.true(late.length > 0 && late.every(({ outcome }) => outcome !== 'refused'), `seed ${seed}`)
  }
})

// Guards against refused parts that crash servers one after the other, and against one that hides another.
test('several parts that crash servers at once are all refused', async t => {
  for (const seed of SEEDS) {
    const traffic = [...usual, inMiddle, bad(() => ['common', 'worse', 'topic2'], { rate: 2 })]
    const { crashed, refused } = await simulatePartCrashes({ seed, traffic, crashes: parts => parts.includes('bad') || parts.includes('worse') ? 1 : 0 })
    t.deepEqual(refused, ['bad', 'worse'], `seed ${seed}`)
    t.true(crashed.length <= 2 * MOST_LOST, `seed ${seed}: ${crashed.length}`)
  }
})

function findFaults ({ guilty = [], mostLost = MOST_LOST, itemTrials = 0, cut }: Case, { crashed, crashedByItems, outcomes, dangerous, refused }: PartCrashOutcome): readonly string[] {
  const faults: string[] = []
  const trials = crashed.filter((at, i) => i > 0 && at >= crashed[i - 1]! + ITEM_TRIAL_WAIT && crashedByItems.includes(at)).length
  if (crashed.length - Math.min(trials, itemTrials) > mostLost) faults.push(`${crashed.length} servers were lost`)
  if (refused.some(part => !guilty.includes(part)) || refused.length < guilty.length) faults.push(`refused at the end: ${refused.join()}`)
  const fifth = crashed[MOST_LOST - 1] ?? Infinity
  const late = dangerous.filter(({ at, daemon }) => at > fifth + CONTACT && (cut === undefined || daemon >= cut.daemons || at > cut.to + CONTACT))
  if (late.length > MOST_SENT) faults.push(`${late.length} requests were sent late`)
  const inForce = (crashed.at(-1) ?? 0) + 2 * CONTACT
  const share = (from: number, to: number): number => {
    const asked = outcomes.filter(({ at, parts }) => parts[0] === 'common' && !guilty.some(part => parts.includes(part)) && at >= from && at < to)
    return asked.length < 20 ? 1 : asked.filter(({ outcome }) => outcome === 'first').length / asked.length
  }
  if (share(inForce, Infinity) < 0.95) faults.push(`${share(inForce, Infinity)} of the sound requests begin at the first attempt`)
  const isCut = ({ daemon, at }: { readonly daemon: number, readonly at: number }): boolean => cut !== undefined && daemon < cut.daemons && at >= cut.from && at < cut.to + CONTACT
  const refusedSound = outcomes.filter(outcome => !isCut(outcome)).filter(({ parts, outcome }) => outcome === 'refused' && !guilty.some(part => parts.includes(part)))
  if (refusedSound.length > 0) faults.push(`${refusedSound.length} sound requests were refused, ${refusedSound[0]!.parts.join()} at ${Math.round(refusedSound[0]!.at)} ms`)
  return faults
}
