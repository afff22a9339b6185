package org.guavahatch.cli.bench

import org.guavahatch.scheduling.choice.ExpectedCompletionChooser
import org.guavahatch.scheduling.choice.LeastOutstandingChooser
import org.guavahatch.scheduling.choice.RoundRobinChooser
import org.guavahatch.scheduling.choice.TwoRandomChoicesChooser

/** Runs policies in scenarios. The same seed gives the same measures on any machine. */
internal object PolicyBench {
    private const val MILLISECONDS_PER_SECOND = 1000.0
    private const val REST_MILLISECONDS = 62_000.0
    private const val LEAVING_ENGINES = 4
    private const val CACHED_GROUPS = 16

    const val CURRENT = "guavahatch"
    const val CLAIRVOYANT = "clairvoyant"

    /** The current policy first, then the baselines, then the clairvoyant reference. */
    val policies = listOf(
        NamedPolicy(CURRENT) { time, groups, seed ->
            GuavahatchPolicy(time, groups, seed, ExpectedCompletionChooser())
        },
        NamedPolicy("round robin") { time, groups, seed -> PushPolicy(time, groups, seed) { RoundRobinChooser() } },
        NamedPolicy("least outst.") { time, groups, seed ->
            PushPolicy(time, groups, seed) { LeastOutstandingChooser() }
        },
        NamedPolicy("two choices") { time, groups, seed ->
            PushPolicy(time, groups, seed) { TwoRandomChoicesChooser() }
        },
        NamedPolicy("FIFO") { time, groups, _ -> CentralPolicy(time, groups, isClairvoyant = false) },
        NamedPolicy(CLAIRVOYANT) { time, groups, _ -> CentralPolicy(time, groups, isClairvoyant = true) },
    )

    /** Runs [policy] in [scenario] with the requests of [seed]. */
    fun run(scenario: BenchScenario, policy: NamedPolicy, seed: Int): BenchMeasures {
        val time = VirtualTime()
        val requests = BenchWorkload.requests(scenario, seed)
        val running = policy.create(time, CACHED_GROUPS, seed)
        val end = scenario.endSeconds * MILLISECONDS_PER_SECOND + REST_MILLISECONDS
        running.start(end)
        requests.forEach { request -> time.at(request.arrivalMilliseconds) { running.onArrival(request) } }
        scenario.slowdowns.forEach { plan(it, time, running) }
        scenario.leavingAtSeconds?.let { seconds ->
            time.at(seconds * MILLISECONDS_PER_SECOND) { repeat(LEAVING_ENGINES, running::onLeave) }
        }
        time.runUntil(end)
        return BenchMeasures.of(scenario, requests)
    }

    private fun plan(slowdown: Slowdown, time: VirtualTime, policy: BenchPolicy) {
        val engines = policy.engines.slice(slowdown.engines)
        time.at(slowdown.fromSeconds * MILLISECONDS_PER_SECOND) { engines.forEach { it.slowdown = slowdown.factor } }
        time.at(slowdown.toSeconds * MILLISECONDS_PER_SECOND) { engines.forEach { it.slowdown = 1.0 } }
    }
}
