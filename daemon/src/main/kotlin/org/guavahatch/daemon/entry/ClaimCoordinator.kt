package org.guavahatch.daemon.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import org.guavahatch.coordination.claim.ClaimKey
import org.guavahatch.coordination.claim.ClaimResult
import org.guavahatch.coordination.claim.ClaimStore
import org.guavahatch.coordination.claim.RecordedAnswer
import org.guavahatch.daemon.observation.DaemonCounter
import org.guavahatch.daemon.observation.DaemonMetrics
import org.guavahatch.model.identity.RequestId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Receives the results of claims. */
internal interface ClaimListener {
    fun onClaimed(requestId: RequestId, result: ClaimResult)
}

/** Acquires, releases and completes the claims of idempotency keys for an entry instance. */
internal class ClaimCoordinator(
    private val claimStore: ClaimStore,
    private val metrics: DaemonMetrics,
    private val scope: CoroutineScope,
    private val listener: ClaimListener,
) {
    private class PendingClaim(val key: ClaimKey) {
        @Volatile
        var job: Job? = null

        @Volatile
        var hasResult = false

        @Volatile
        var isHeldElsewhere = false
    }

    private val pending = ConcurrentHashMap<RequestId, PendingClaim>()
    private val pendingWriteCount = AtomicInteger()

    /** Number of recorded answers and releases that are not written yet. */
    val pendingWrites: Int get() = pendingWriteCount.get()

    /** Starts to claim the idempotency key of [exchange]. The listener receives the result. */
    fun acquire(exchange: Exchange) {
        val requestId = exchange.requestId
        val claim = PendingClaim(keyOf(exchange))
        pending[requestId] = claim
        claim.job = scope.launch {
            val result = claimStore.claim(claim.key, requestId.toString()) { claim.isHeldElsewhere = true }
            claim.hasResult = true
            metrics.count(DaemonCounter.CLAIMS, result.javaClass.simpleName.lowercase())
            listener.onClaimed(requestId, result)
        }
    }

    private fun keyOf(exchange: Exchange) = ClaimKey(
        route = exchange.request.route.name,
        account = exchange.request.account.name,
        idempotencyKey = exchange.request.call.idempotencyKey,
    )

    /** Whether another attempt without an outcome held the claim when it was last read. */
    fun isHeldElsewhere(requestId: RequestId): Boolean = pending[requestId]?.isHeldElsewhere ?: false

    /** Releases the claim of a request that was not dispatched and will not be. */
    fun release(requestId: RequestId) {
        val claim = pending.remove(requestId) ?: return
        launchWrite {
            claim.job?.cancelAndJoin()
            val isReleased = claimStore.release(claim.key, requestId.toString(), mayArriveLate = !claim.hasResult)
            metrics.count(DaemonCounter.CLAIMS, if (isReleased) "released" else "release-given-up")
        }
    }

    /** Records the answer to a request in its claim. */
    fun record(requestId: RequestId, answer: RecordedAnswer) {
        val claim = pending.remove(requestId) ?: return
        launchWrite {
            val isRecorded = claimStore.record(claim.key, requestId.toString(), answer)
            metrics.count(DaemonCounter.CLAIMS, if (isRecorded) "recorded" else "record-given-up")
        }
    }

    /** Stops tracking the claim of a request whose outcome is unknown. A stored claim is not released. */
    fun forget(requestId: RequestId) {
        pending.remove(requestId)?.job?.cancel()
    }

    private fun launchWrite(operation: suspend () -> Unit) {
        pendingWriteCount.incrementAndGet()
        scope.launch {
            try {
                operation()
            } finally {
                pendingWriteCount.decrementAndGet()
            }
        }
    }
}
