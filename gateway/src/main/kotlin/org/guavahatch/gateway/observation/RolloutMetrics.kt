package org.guavahatch.gateway.observation

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.guavahatch.scheduling.rollout.AnswerResult
import org.guavahatch.scheduling.rollout.RolloutPhase

/** Counts the answers of rollouts and shows their phases. Pools are those of the configuration's routes. */
class RolloutMetrics(private val registry: MeterRegistry) {
    private val answers = HashMap<Triple<String, Boolean, AnswerResult>, Counter>()
    private val watchedPools = HashSet<String>()

    /** Counts an answer of an endpoint of [pool]. */
    fun countAnswer(pool: String, isTarget: Boolean, result: AnswerResult) =
        answers.getOrPut(Triple(pool, isTarget, result)) {
            Counter.builder("guavahatch.gateway.rollout.answers")
                .tag("pool", pool)
                .tag("side", if (isTarget) "target" else "previous")
                .tag("result", result.name.lowercase())
                .register(registry)
        }.increment()

    /** Shows the phase of the rollout of [pool]: 0 running, 1 promoting, 2 completed, 3 rolled back, -1 unknown. */
    fun watchPhase(pool: String, read: () -> RolloutPhase?) {
        if (!watchedPools.add(pool)) return
        Gauge.builder("guavahatch.gateway.rollout.phase") { read()?.ordinal ?: -1 }.tag("pool", pool).register(registry)
    }
}
