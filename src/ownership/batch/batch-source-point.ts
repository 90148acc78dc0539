import { ExtensionPoint } from '../../kernel/extension-point.js'
import type { BatchSource } from './batch-source.js'

/** Extension point for sources of batch items. */
export const batchSourcePoint = new ExtensionPoint<BatchSource>('batch sources')
