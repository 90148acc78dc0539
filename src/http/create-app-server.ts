import type { App } from '@tinyhttp/app'
import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http'

/** An HTTP server that answers through `app`; not yet listening. */
export function createAppServer (app: App, options: ServerOptions = {}): Server {
  return createServer(options, app.attach as RequestListener)
}
