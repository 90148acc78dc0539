import type { TraceEvent } from './trace-event.js'

/** How lines are told apart in text and on the page. */
export const traceLegend: Readonly<Record<TraceEvent['kind'], { readonly symbol: string, readonly colour: string, readonly meaning: string }>> = {
  own: { symbol: '>', colour: '#36c', meaning: 'its own' },
  failure: { symbol: '!', colour: '#c22', meaning: 'a warning or error beside it' },
  belief: { symbol: '.', colour: '#999', meaning: 'what a daemon learnt' },
  other: { symbol: '~', colour: '#c73', meaning: 'of others at the same servers' }
}
