package org.guavahatch.cli.bench

/** A way to bring requests to engines, run in virtual time. */
internal interface BenchPolicy {
    /** Engines of the pool, which the policy has made. */
    val engines: List<BenchEngine>

    /** A request has arrived. */
    fun onArrival(request: BenchRequest)

    /** The engine at [index] leaves: it finishes what it has and takes nothing new. */
    fun onLeave(index: Int)

    /** Starts what runs regularly, until [endMilliseconds]. */
    fun start(endMilliseconds: Double) = Unit
}

/** Notes tokens and ends of requests. */
internal abstract class NotingListener(private val time: VirtualTime) : EngineListener {
    override fun onToken(request: BenchRequest, position: Int) {
        val now = time.nowMilliseconds
        if (request.firstTokenMilliseconds == null) request.firstTokenMilliseconds = now
        request.lastTokenMilliseconds?.let { request.tokenGapsMilliseconds += (now - it).toFloat() }
        request.lastTokenMilliseconds = now
    }

    override fun onDone(request: BenchRequest) {
        request.doneMilliseconds = time.nowMilliseconds
    }
}

/** Makes a policy on [VirtualTime] with engines that cache so many prefix groups. */
internal class NamedPolicy(val name: String, val create: (VirtualTime, cachedGroups: Int, seed: Int) -> BenchPolicy)
