/** Limits retries to a percentage of the requests, so that retries do not multiply the load while endpoints fail. */

/** Token bucket for retries. */
export interface RetryBudget {
  recordRequest (): void
  /** Consumes one retry from the budget; false when none is left. */
  tryTake (): boolean
}

const maxTokens = 20
const initialTokens = 10

/** Creates a budget that gains `getPercent() / 100` retries with each request. */
export function createRetryBudget (getPercent: () => number): RetryBudget {
  let tokens = initialTokens
  return {
    recordRequest: () => { tokens = Math.min(maxTokens, tokens + getPercent() / 100) },
    tryTake: () => {
      if (tokens < 1) return false
      tokens--
      return true
    }
  }
}
