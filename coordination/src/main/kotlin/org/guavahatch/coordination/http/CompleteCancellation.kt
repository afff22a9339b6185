package org.guavahatch.coordination.http

import org.apache.hc.client5.http.async.AsyncExecCallback
import org.apache.hc.client5.http.async.AsyncExecChain
import org.apache.hc.client5.http.async.AsyncExecChainHandler
import org.apache.hc.core5.concurrent.Cancellable
import org.apache.hc.core5.concurrent.CancellableDependency
import org.apache.hc.core5.http.HttpRequest
import org.apache.hc.core5.http.nio.AsyncEntityProducer

/**
 * Makes the cancellation of a call cancel all of its operations (lease, connect, exchange).
 *
 * The client's own future keeps only the operation that was set last. The thread that starts a connection may set the
 * connect operation after the I/O thread has set the exchange; a cancellation would then reach only the completed
 * connect, and the server would go on with the request.
 */
internal object CompleteCancellation : AsyncExecChainHandler {
    override fun execute(
        request: HttpRequest,
        entityProducer: AsyncEntityProducer?,
        scope: AsyncExecChain.Scope,
        chain: AsyncExecChain,
        callback: AsyncExecCallback,
    ) {
        val operations = CallOperations()
        scope.cancellableDependency.setDependency(operations)
        val inner = AsyncExecChain.Scope(
            scope.exchangeId,
            scope.route,
            scope.originalRequest,
            operations,
            scope.clientContext,
            scope.execRuntime,
            scope.scheduler,
            scope.execCount,
        )
        chain.proceed(request, entityProducer, inner, callback)
    }
}

/** The operations of one call. Each is cancelled once, also one that is set after the cancellation. Thread-safe. */
internal class CallOperations : CancellableDependency {
    private val operations = ArrayList<Cancellable>()
    private var isCancelled = false

    override fun setDependency(cancellable: Cancellable) {
        val isLate = synchronized(operations) { isCancelled.also { if (!it) operations.add(cancellable) } }
        if (isLate) cancellable.cancel()
    }

    override fun isCancelled(): Boolean = synchronized(operations) { isCancelled }

    override fun cancel(): Boolean {
        val cancelled = synchronized(operations) {
            if (isCancelled) return false
            isCancelled = true
            operations.toList()
        }
        cancelled.forEach { it.cancel() }
        return true
    }
}
