import type { Site } from './site.js'

const CALLERS = ['quay-desk-token', 'school-kitchen-token']

/** The fleets of two users. Bursts of up to two seconds come close to the engines' online capacity, and a run has several of them. */
export const sites: readonly Site[] = [
  {
    name: 'keelmoor',
    engines: 8,
    daemons: 6,
    itemTokens: 48,
    plan: { seed: 11, duration: 24_000, rate: 24, burst: { every: 6_000, length: 1_500, rate: 140 }, model: 'berth-assistant', streamed: 1, tokens: [8, 40], promptWords: [10, 80], callers: CALLERS }
  },
  {
    name: 'clearplate',
    engines: 6,
    daemons: 6,
    itemTokens: 32,
    plan: { seed: 12, duration: 24_000, rate: 16, burst: { every: 8_000, length: 2_000, rate: 90 }, model: 'berth-assistant', streamed: 1, tokens: [6, 24], promptWords: [10, 60], callers: CALLERS }
  }
]
