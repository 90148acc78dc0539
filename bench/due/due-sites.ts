import type { DueSite } from './due-site.js'

const MINUTE = 60_000

/** A pace is the batch rate per server in test/ownership/site-policy, divided by the tokens of an item. */
export const dueSites: readonly DueSite[] = [
  {
    name: 'keelmoor: itinerary drafts',
    daemons: 6,
    servers: 8,
    pace: 0.007,
    urgent: { jobs: 3, callers: 3, spread: 30 * MINUTE, items: { from: 14_000, spread: 10_000 }, window: { from: 25 * MINUTE, spread: 20 * MINUTE } }
  },
  {
    name: 'keelmoor: drafts for most of the fleet',
    daemons: 6,
    servers: 8,
    pace: 0.007,
    urgent: { jobs: 3, callers: 3, spread: MINUTE, items: { from: 26_000, spread: 5_000 }, window: { from: 33 * MINUTE, spread: 5 * MINUTE } }
  },
  {
    name: 'clearplate: menus',
    daemons: 6,
    servers: 6,
    pace: 0.0105,
    urgent: { jobs: 40, callers: 20, spread: 30 * MINUTE, items: { from: 400, spread: 1_600 }, window: { from: 6 * MINUTE, spread: 30 * MINUTE } }
  },
  {
    name: 'clearplate: menus of an evening',
    daemons: 6,
    servers: 6,
    pace: 0.0105,
    urgent: { jobs: 60, callers: 20, spread: 5 * MINUTE, items: { from: 400, spread: 1_600 }, window: { from: 10 * MINUTE, spread: 20 * MINUTE } }
  },
  {
    name: 'clearplate: more menus than the fleet can do',
    daemons: 6,
    servers: 6,
    pace: 0.0105,
    urgent: { jobs: 60, callers: 20, spread: 5 * MINUTE, items: { from: 400, spread: 1_600 }, window: { from: 5 * MINUTE, spread: 7 * MINUTE } }
  }
]
