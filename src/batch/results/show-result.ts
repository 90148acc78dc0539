import type { ItemResult } from './item-result.js'

/** Formats one line of a job's results in the OpenAI shape; `item` is the `custom_id`. */
export function showResult (job: string, item: string, result: ItemResult): unknown {
  const id = `${job}.${item}`
  switch (result.type) {
    case 'completed': return { id, custom_id: item, response: { status_code: result.status, request_id: id, body: result.body }, error: null }
    case 'failed': return { id, custom_id: item, response: null, error: { code: result.cause, message: result.detail } }
  }
}
