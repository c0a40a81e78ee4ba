package org.heatherhaven.node.http;

/** A call whose head can't be read; its message says why in one sentence for a person. */
public class BadCallException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong
     */
    public BadCallException(String message) {
        super(message);
    }
}
