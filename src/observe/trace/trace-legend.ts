import type { TraceEvent } from './trace-event.js'

/** Symbols, colours and explanations of the kinds of lines, for text and HTML output. */
export const traceLegend: Readonly<Record<TraceEvent['kind'], { readonly symbol: string, readonly colour: string, readonly meaning: string }>> = {
  own: { symbol: '>', colour: '#36c', meaning: 'line of the traced id' },
  failure: { symbol: '!', colour: '#c22', meaning: 'warning or error at about the same time' },
  belief: { symbol: '.', colour: '#999', meaning: 'state change logged by a daemon' },
  other: { symbol: '~', colour: '#c73', meaning: 'other request on the same servers' }
}
