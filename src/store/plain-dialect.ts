import { failUnreachable } from '../kernel/unreachable.js'
import type { ApiCall } from './api-call.js'
import type { HttpCall } from './http-call.js'
import type { StoreDialect } from './store-dialect.js'

/** The default format of the object API: one HTTP exchange per call. */
export const plainDialect: StoreDialect = {
  async send (call, exchange) {
    const answer = await exchange(buildHttpCall(call))
    if (call.type !== 'list' || answer.type !== 'answered' || !Array.isArray(answer.body?.objects)) return answer
    return { ...answer, body: { objects: answer.body.objects, ...typeof answer.body.more === 'boolean' && { isLast: !answer.body.more } } }
  }
}

function buildHttpCall (call: ApiCall): HttpCall {
  switch (call.type) {
    case 'get': return { method: 'GET', path: buildPath(call) }
    case 'put': return { method: 'PUT', path: buildPath(call), body: { value: call.value, version: call.version, writeId: call.writeId } }
    case 'put status': return { method: 'PUT', path: `${buildPath(call)}/status`, body: call.status }
    case 'delete': return { method: 'DELETE', path: `${buildPath(call)}?version=${call.version}` }
    case 'list': return { method: 'GET', path: `/objects/${call.kind}?${new URLSearchParams({ prefix: call.prefix, after: call.after, limit: String(call.limit) })}` }
    case 'watch': return { method: 'GET', path: `/watch/${call.kind}?revision=${call.revision}&wait=${call.wait}` }
    case 'instances': return { method: 'GET', path: '/instances' }
    default: return failUnreachable(call)
  }
}

function buildPath ({ kind, name }: { readonly kind: string, readonly name: string }): string {
  return `/objects/${kind}/${encodeURIComponent(name)}`
}
