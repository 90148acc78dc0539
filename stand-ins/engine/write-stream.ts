import type { ServerResponse } from 'node:http'
import type { AnswerMetadata } from './answer-metadata.js'
import type { TokenWriter } from './token-writer.js'

/** Answers with one server-sent event for each token; a resumed answer holds only its new tokens. */
export function writeStream (res: ServerResponse, { id, model, chat, words, resumed, promptTokens, includeUsage }: AnswerMetadata): TokenWriter {
  res.writeHead(200, { 'content-type': 'text/event-stream' })
  res.flushHeaders()
  let first = resumed === 0
  return (word, last) => {
    const text = first ? word : ` ${word}`
    first = false
    const finish = last ? 'stop' : null
    const choice = chat ? { index: 0, delta: { content: text }, finish_reason: finish } : { index: 0, text, finish_reason: finish }
    const object = chat ? 'chat.completion.chunk' : 'text_completion'
    res.write(`data: ${JSON.stringify({ id, object, model, created: 0, choices: [choice] })}\n\n`)
    if (!last) return
    const usage = { prompt_tokens: promptTokens, completion_tokens: words.length - resumed, total_tokens: promptTokens + words.length - resumed }
    if (includeUsage) res.write(`data: ${JSON.stringify({ id, object, model, created: 0, choices: [], usage })}\n\n`)
    res.end('data: [DONE]\n\n')
  }
}
