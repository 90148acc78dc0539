import { ExtensionPoint } from '../kernel/extension-point.js'
import type { BatchSource } from './batch-source.js'

/** Where the source of batch items is contributed. */
export const batchSourcePoint = new ExtensionPoint<BatchSource>('batch sources')
