/** JSON-RPC client of a worker. */
import { createHttpRpcClient } from '../common/httpRpcClient.js'
import { WorkerMethod } from './workerTypes.js'
import type { TaskReport, WorkerPort, WorkerReport } from './workerTypes.js'

const callTimeoutMs = 1_000
const checkpointTimeoutMs = 30_000

/** Creates a client for the worker at `address`; `from` is the id of this host. */
export function createWorkerClient (address: string, from: string): WorkerPort {
  const rpc = createHttpRpcClient(address, { from, timeoutMs: callTimeoutMs })
  return {
    prepare: async (epoch, task, leaseMs) => { await rpc.call(WorkerMethod.Prepare, { epoch, task, leaseMs }) },
    commit: async (epoch, taskIds) => { await rpc.call(WorkerMethod.Commit, { epoch, taskIds }) },
    release: async (epoch, taskIds) => { await rpc.call(WorkerMethod.Release, { epoch, taskIds }) },
    stop: (epoch, taskIds) => rpc.call<TaskReport[]>(WorkerMethod.Stop, { epoch, taskIds }),
    checkpoint: (epoch, taskIds) => rpc.call<TaskReport[]>(WorkerMethod.Checkpoint, { epoch, taskIds }, checkpointTimeoutMs),
    renew: request => rpc.call<WorkerReport>(WorkerMethod.Renew, request)
  }
}
