import { ExtensionPoint } from '../kernel/extension-point.js'
import type { HttpRoute } from './http-route.js'

/** The extension point through which parts add routes to the HTTP interface. */
export const routePoint = new ExtensionPoint<HttpRoute>('routes')
