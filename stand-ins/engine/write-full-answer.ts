import type { ServerResponse } from 'node:http'
import { sendJson } from '../../src/http/send-json.js'
import type { AnswerMetadata } from './answer-metadata.js'
import type { TokenWriter } from './token-writer.js'

/** Answers with one body at the last token; a resumed answer holds only its new tokens. */
export function writeFullAnswer (res: ServerResponse, { id, model, chat, promptTokens }: AnswerMetadata): TokenWriter {
  const given: string[] = []
  return (word, last) => {
    given.push(word)
    if (!last) return
    const text = given.join(' ')
    const choice = chat
      ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }
      : { index: 0, text, finish_reason: 'stop' }
    const usage = { prompt_tokens: promptTokens, completion_tokens: given.length, total_tokens: promptTokens + given.length }
    sendJson(res, 200, { id, object: chat ? 'chat.completion' : 'text_completion', created: 0, model, choices: [choice], usage })
  }
}
