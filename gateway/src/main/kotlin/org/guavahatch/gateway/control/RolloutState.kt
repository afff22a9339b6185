package org.guavahatch.gateway.control

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.guavahatch.scheduling.rollout.RolloutOrder
import org.guavahatch.scheduling.rollout.RolloutPhase
import org.guavahatch.scheduling.rollout.RolloutReport

/**
 * State of a rollout at this gateway, for operators.
 *
 * @property order the order that is carried out
 * @property phase its phase
 * @property reason why it is in that phase; empty while it runs
 * @property isStored whether the store confirms the end
 * @property report answers that this gateway has seen
 */
class RolloutState(
    val order: RolloutOrder,
    val phase: RolloutPhase,
    val reason: String,
    val isStored: Boolean,
    val report: RolloutReport,
) {
    /** The state as a JSON object. */
    fun toJson(): JsonObject = buildJsonObject {
        put("pool", order.pool)
        put("to", order.targetVersion)
        put("revision", order.revision)
        put("milliseconds", order.durationMilliseconds)
        put("phase", phase.name.lowercase())
        put("reason", reason)
        put("stored", isStored)
        put("openOnPrevious", report.openOnPrevious)
        put("answers", answers())
    }

    private fun answers() = buildJsonArray {
        report.evidence.forEach { (key, counts) ->
            add(
                buildJsonObject {
                    put("route", key.route)
                    put("side", if (key.isTarget) "target" else "previous")
                    put("answers", counts.answers)
                    put("failures", counts.failures)
                    put("lost", counts.lost)
                },
            )
        }
    }
}
