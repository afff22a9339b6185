package org.guavahatch.standins.platform

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import kotlinx.coroutines.delay
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.guavahatch.standins.web.respondJson

/** How a service of the platform behaves. */
@Serializable
internal enum class ServiceMode {
    @SerialName("up")
    UP,

    /** Calls are refused and have no effect. */
    @SerialName("down")
    DOWN,

    /** Calls take effect, but their answers do not arrive in time. */
    @SerialName("answers-lost")
    ANSWERS_LOST,
}

/**
 * Fault of one service.
 *
 * @property mode how it behaves
 * @property delayMilliseconds delay before each call takes effect
 */
@Serializable
internal data class ServiceFault(val mode: ServiceMode = ServiceMode.UP, val delayMilliseconds: Long = 0)

/** Applies the fault that is set for a service to its calls. */
internal class FaultySwitch {
    @Volatile
    var fault = ServiceFault()

    /** Runs [effect] and answers with what it returns, unless the fault prevents one or both. */
    suspend fun serve(call: ApplicationCall, effect: suspend () -> suspend () -> Unit) {
        val present = fault
        if (present.delayMilliseconds > 0) delay(present.delayMilliseconds)
        if (present.mode == ServiceMode.DOWN) {
            call.respondJson("down", HttpStatusCode.ServiceUnavailable)
            return
        }
        val answer = effect()
        if (present.mode == ServiceMode.ANSWERS_LOST) {
            delay(LOST_ANSWER_MILLISECONDS)
            call.respondJson("lost", HttpStatusCode.GatewayTimeout)
            return
        }
        answer()
    }

    private companion object {
        const val LOST_ANSWER_MILLISECONDS = 3000L
    }
}
