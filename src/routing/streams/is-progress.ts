import type { SseSplitter } from './sse-splitter.js'

/** Whether an event brings something; comments, which keep a connection open, come as events without an id and data. */
export function isProgress ({ id, data }: ReturnType<SseSplitter['push']>[number]): boolean {
  return id !== undefined || data !== ''
}
