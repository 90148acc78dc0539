import { ExtensionPoint } from '../../kernel/extension-point.js'
import type { ExchangeObserver } from './exchange-observer.js'

/** Extension point for parts that observe exchanges with backend servers. */
export const exchangeObserverPoint = new ExtensionPoint<ExchangeObserver>('exchange observers')
