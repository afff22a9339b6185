package org.guavahatch.cli.bench

import org.guavahatch.scheduling.choice.ExpectedCompletionChooser
import org.guavahatch.scheduling.choice.LeastOutstandingChooser
import org.guavahatch.scheduling.choice.RoundRobinChooser
import org.guavahatch.scheduling.choice.TwoRandomChoicesChooser

/** Simulates policies in scenarios. The results depend only on the scenario, the policy and the seed. */
internal object PolicyBench {
    private const val MILLISECONDS_PER_SECOND = 1000.0

    /** Time after the last arrivals in which requests can complete, longer than the longest deadline of 60 s. */
    private const val COMPLETION_MILLISECONDS = 62_000.0

    /** About a third of the 13 engines. */
    private const val LEAVING_ENGINES = 4

    /** Prefix groups that fit into the cache of each engine. */
    private const val PREFIX_CACHE_CAPACITY = 16

    /** Name of the policy of the product. */
    const val CURRENT = "guavahatch"

    /** Name of the reference policy. */
    const val CLAIRVOYANT = "clairvoyant"

    /** The policy of the product, followed by the baselines and the clairvoyant reference. */
    val policies = listOf(
        PolicyFactory(CURRENT) { eventLoop, capacity, seed ->
            GuavahatchPolicy(eventLoop, capacity, seed, ExpectedCompletionChooser())
        },
        PolicyFactory("round robin") { eventLoop, capacity, seed ->
            PushPolicy(eventLoop, capacity, seed) { RoundRobinChooser() }
        },
        PolicyFactory("least outst.") { eventLoop, capacity, seed ->
            PushPolicy(eventLoop, capacity, seed) { LeastOutstandingChooser() }
        },
        PolicyFactory("two choices") { eventLoop, capacity, seed ->
            PushPolicy(eventLoop, capacity, seed) { TwoRandomChoicesChooser() }
        },
        PolicyFactory("FIFO") { eventLoop, capacity, _ -> CentralPolicy(eventLoop, capacity, isClairvoyant = false) },
        PolicyFactory(CLAIRVOYANT) { eventLoop, capacity, _ ->
            CentralPolicy(eventLoop, capacity, isClairvoyant = true)
        },
    )

    /** Runs [policy] in [scenario] with requests generated from [seed]. */
    fun run(scenario: BenchScenario, policy: PolicyFactory, seed: Int): BenchMeasures {
        val eventLoop = EventLoop()
        val requests = BenchWorkload.requests(scenario, seed)
        val policyInstance = policy.create(eventLoop, PREFIX_CACHE_CAPACITY, seed)
        val endMilliseconds = scenario.endSeconds * MILLISECONDS_PER_SECOND + COMPLETION_MILLISECONDS
        policyInstance.start(endMilliseconds)
        requests.forEach { request ->
            eventLoop.scheduleAt(request.arrivalMilliseconds) { policyInstance.onArrival(request) }
        }
        scenario.slowdowns.forEach { scheduleSlowdown(it, eventLoop, policyInstance) }
        scenario.leavingAtSeconds?.let { seconds ->
            eventLoop.scheduleAt(seconds * MILLISECONDS_PER_SECOND) { repeat(LEAVING_ENGINES, policyInstance::onLeave) }
        }
        eventLoop.runUntil(endMilliseconds)
        return BenchMeasures.of(scenario, requests)
    }

    private fun scheduleSlowdown(slowdown: Slowdown, eventLoop: EventLoop, policy: BenchPolicy) {
        val engines = policy.engines.slice(slowdown.engines)
        eventLoop.scheduleAt(slowdown.fromSeconds * MILLISECONDS_PER_SECOND) {
            engines.forEach { it.slowdown = slowdown.factor }
        }
        eventLoop.scheduleAt(slowdown.toSeconds * MILLISECONDS_PER_SECOND) { engines.forEach { it.slowdown = 1.0 } }
    }
}
