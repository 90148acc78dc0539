import { ExtensionPoint } from '../kernel/extension-point.js'
import type { ExchangeObserver } from './exchange-observer.js'

/** Where parts listen for the begin and the end of exchanges with backend servers. */
export const exchangeObserverPoint = new ExtensionPoint<ExchangeObserver>('exchange observers')
