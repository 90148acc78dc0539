import type { ServerDialect } from '../exchanges/server-dialect.js'

/** Longest id of a part that is kept, characters. */
const MAX_LENGTH = 256

/**
 * Lists the parts of a prompt that other requests may share, without those whose ids are too long to keep. Each id is a string of its own:
 * one cut from the header would keep all of that.
 */
export function listParts (dialect: Pick<ServerDialect, 'listSharedParts'>, headers: Parameters<ServerDialect['listSharedParts']>[0]): readonly string[] {
  return dialect.listSharedParts(headers).filter(({ length }) => length <= MAX_LENGTH).map(id => Buffer.from(id).toString())
}
