/**
 * Limits of the size of a job, which bound what the scheduler keeps of it in memory. Figures: `npm run measure:job-memory`, 5 December 2026.
 */
import type { JobSpec } from './jobModel.js'

/**
 * The most tasks that the scheduler creates for one job, in all steps and occurrences together. A task takes 570 bytes while it waits and 1,450 when it has been
 * started, and a planning pass allocates up to 710 for each that waits: 54 MB for the largest job, about a quarter of a heap of 200 MB.
 */
export const maxScheduledTasks = 25_000
/**
 * The default limit of a submission. Its progress record stays below the 1 MB that the store accepts for a value, at 94 bytes for each task that has been started
 * and has a checkpoint, with the platform's ids.
 */
export const defaultMaxTasksPerJob = 10_000
/** The most steps of one job. Steps are placed one by one: with so many and no room, a planning pass takes 0.25 s on 378 workers. */
export const maxSteps = 1_000

type JobSize = Pick<JobSpec, 'steps' | 'recurrence'>

/** The number of tasks of all steps and occurrences: ended occurrences stay in memory until the job has ended. */
export function countTasks ({ steps, recurrence }: JobSize): number {
  return steps.reduce((sum, { count }) => sum + count, 0) * Math.max(1, recurrence?.times ?? 1)
}

/** Returns which limit the job exceeds, with the value; undefined if it exceeds none. */
export function describeExcess (job: JobSize, maxTasks: number): string | undefined {
  if (job.steps.length > maxSteps) return `the job has ${job.steps.length} steps, over the limit of ${maxSteps}`
  const tasks = countTasks(job)
  return tasks > maxTasks ? `the job has ${tasks} tasks in all steps and occurrences, over the limit of ${maxTasks}` : undefined
}
