import type { App } from '@tinyhttp/app'
import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http'

/** Creates an HTTP server that handles requests with `app`; it doesn't listen yet. Its answers don't name the library. */
export function createAppServer (app: App, options: ServerOptions = {}): Server {
  app.settings.xPoweredBy = false
  return createServer(options, app.attach as RequestListener)
}
