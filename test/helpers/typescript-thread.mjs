// Loads the thread of an engine with the loader for TypeScript, which threads don't inherit.
import { register } from 'tsx/esm/api'

register()
await import('./run-engine-thread.ts')
