import { createAgent } from './create-agent.js'

/** The agent of commands, which send few requests. */
export const sharedAgent = createAgent()
