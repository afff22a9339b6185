package org.guavahatch.coordination.store

/**
 * A call to the platform that did not succeed.
 *
 * @property step what was attempted
 * @property peer service and address that were called
 * @property detail what went wrong, as a sentence
 */
public sealed interface PlatformError {
    public val step: String
    public val peer: String
    public val detail: String

    /** The call certainly had no effect. */
    public data class Unavailable(override val step: String, override val peer: String, override val detail: String) :
        PlatformError

    /** The call may have taken effect, now or later: its answer was lost. */
    public data class Uncertain(override val step: String, override val peer: String, override val detail: String) :
        PlatformError
}
