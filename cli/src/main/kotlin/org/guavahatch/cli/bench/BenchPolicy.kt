package org.guavahatch.cli.bench

/** Scheduling policy that assigns requests to simulated engines in virtual time. */
internal interface BenchPolicy {
    /** Engines of the pool, created by the policy. */
    val engines: List<BenchEngine>

    /** Handles the arrival of [request]. */
    fun onArrival(request: BenchRequest)

    /** Stops assigning requests to the engine at [index], which still completes those that it has. */
    fun onLeave(index: Int)

    /** Schedules the periodic work of the policy until [endMilliseconds]. */
    fun start(endMilliseconds: Double) = Unit
}

/** Records token times and completion times in the requests. */
internal abstract class RecordingListener(private val eventLoop: EventLoop) : EngineListener {
    override fun onToken(request: BenchRequest, generatedTokens: Int) {
        val now = eventLoop.nowMilliseconds
        if (request.firstTokenMilliseconds == null) request.firstTokenMilliseconds = now
        request.lastTokenMilliseconds?.let { request.tokenGapsMilliseconds += (now - it).toFloat() }
        request.lastTokenMilliseconds = now
    }

    override fun onCompleted(request: BenchRequest) {
        request.completedMilliseconds = eventLoop.nowMilliseconds
    }
}

/** Creates the policy [name] on an event loop, with a prefix cache of the given capacity in each engine. */
internal class PolicyFactory(val name: String, val create: (EventLoop, cacheCapacity: Int, seed: Int) -> BenchPolicy)
