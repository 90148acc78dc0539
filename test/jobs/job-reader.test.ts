import 'reflect-metadata'
import test from 'ava'
import { Err, Ok } from 'ts-results'
import type { JobRegistry } from '../../src/jobs/job-registry.js'
import type { JobOwner } from '../../src/jobs/job-owner.js'
import { JobReader } from '../../src/jobs/job-reader.js'
import type { JobRecords } from '../../src/jobs/job-records.js'
import type { KnownJob } from '../../src/jobs/known-job.js'
import type { PeerLinks } from '../../src/peers/peer-links.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const HEADER = { host: 'h', path: '/p/', submittedAt: 0, total: 1, tokens: 1, owner: 'd0', run: 1, parts: 1 }

/** A daemon that is asked to see to a job whose stored owner is `owner`; the store answers after `failures` reads. */
async function ensureRunning (owner: string, failures: number): Promise<{ readonly adopted: number, readonly asked: readonly string[] }> {
  const clock = new VirtualClock()
  const asked: string[] = []
  let adopted = 0
  let reads = 0
  const known = new Map<string, KnownJob>()
  const records = { readHeader: async () => reads++ < failures ? Err({ type: 'limited' }) : Ok({ ...HEADER, owner }) }
  const jobOwner = {
    find: () => adopted > 0 ? {} : undefined,
    isOwnerAlive: () => true,
    adopt: async () => {
      adopted++
      return Ok(undefined)
    }
  }
  const registry = { get: (id: string) => known.get(id), addIfAbsent: (job: KnownJob) => { known.set(job.id, job) } }
  const reader: JobReader = new JobReader(jobOwner as unknown as JobOwner, registry as unknown as JobRegistry, records as unknown as JobRecords,
    { send: (to: string) => asked.push(to) } as unknown as PeerLinks, { instance: 'd0' }, { write: () => {} }, clock)
  void reader.ensureRunning('job')
  await clock.advance(5_000)
  return { adopted, asked }
}

interface Case { readonly name: string, readonly owner: string, readonly failures: number, readonly adopted: boolean, readonly asked: boolean }

const cases: readonly Case[] = [
  { name: 'the store is busy for a while', owner: 'd0', failures: 3, adopted: true, asked: false },
  { name: 'this daemon is the one that believes that it failed to accept it', owner: 'd0', failures: 0, adopted: true, asked: false },
  { name: 'another daemon is, and is asked again as long as it does not answer', owner: 'd1', failures: 1, adopted: false, asked: true }
]

// A daemon stores a job, the store's answer is a refusal or is lost, and the caller is told to come back; it comes to a daemon that
// finds the job stored and confirms it. From then on somebody must run it, though its owner lives and knows of nothing.
for (const { name, owner, failures, adopted, asked } of cases) {
  test(`a job that is found stored is run: ${name}`, async t => {
    const seen = await ensureRunning(owner, failures)
    t.is(seen.adopted > 0, adopted)
    t.is(seen.asked.length > 1, asked)
  })
}
