package org.guavahatch.standins.platform

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import kotlinx.coroutines.delay
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.guavahatch.standins.web.respondJson

/** How a service of the platform responds to calls. */
@Serializable
internal enum class ServiceMode {
    /** Calls succeed. */
    @SerialName("up")
    UP,

    /** Calls are refused with status 503 and have no effect. */
    @SerialName("down")
    DOWN,

    /** Calls take effect, but their answers do not arrive in time; after 3 seconds, status 504 is sent instead. */
    @SerialName("answers-lost")
    ANSWERS_LOST,
}

/**
 * Fault to inject into the calls of one service.
 *
 * @property mode how the service responds
 * @property delayMilliseconds delay before each call takes effect
 */
@Serializable
internal data class ServiceFault(val mode: ServiceMode = ServiceMode.UP, val delayMilliseconds: Long = 0)

/** Injects the current fault of a service into its calls. */
internal class FaultInjector {
    /** Fault for calls that arrive from now on. */
    @Volatile
    var fault = ServiceFault()

    /**
     * Runs [effect] and then the responder that it returns, unless the fault prevents one or both. They are
     * separate so that a call can take effect although its answer is lost.
     */
    suspend fun serve(call: ApplicationCall, effect: suspend () -> suspend () -> Unit) {
        val currentFault = fault
        if (currentFault.delayMilliseconds > 0) delay(currentFault.delayMilliseconds)
        if (currentFault.mode == ServiceMode.DOWN) {
            call.respondJson("down", HttpStatusCode.ServiceUnavailable)
            return
        }
        val respond = effect()
        if (currentFault.mode == ServiceMode.ANSWERS_LOST) {
            delay(LOST_ANSWER_DELAY_MILLISECONDS)
            call.respondJson("lost", HttpStatusCode.GatewayTimeout)
            return
        }
        respond()
    }

    private companion object {
        const val LOST_ANSWER_DELAY_MILLISECONDS = 3000L
    }
}
