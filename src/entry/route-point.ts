import { ExtensionPoint } from '../kernel/extension-point.js'
import type { Route } from './route.js'

/** The extension point through which parts add routes to the HTTP interface. */
export const routePoint = new ExtensionPoint<Route>('routes')
