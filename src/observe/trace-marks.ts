import type { TraceEvent } from './trace-event.js'

/** How lines are told apart in text and on the page. */
export const traceMarks: Readonly<Record<TraceEvent['kind'], { readonly sign: string, readonly colour: string, readonly meaning: string }>> = {
  own: { sign: '>', colour: '#36c', meaning: 'its own' },
  failure: { sign: '!', colour: '#c22', meaning: 'a warning or error beside it' },
  belief: { sign: '.', colour: '#999', meaning: 'what a daemon learnt' },
  other: { sign: '~', colour: '#c73', meaning: 'of others at the same servers' }
}
