import { ExtensionPoint } from '../kernel/extension-point.js'
import type { Route } from './route.js'

/** Where parts add routes to the HTTP interface. */
export const routePoint = new ExtensionPoint<Route>('routes')
