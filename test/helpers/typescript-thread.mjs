// Runs a module in a thread with the loader for TypeScript, which threads don't inherit.
import { workerData } from 'node:worker_threads'
import { register } from 'tsx/esm/api'

register()
await import(workerData.module)
