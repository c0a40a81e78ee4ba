/** The control thread: takes events from a mailbox, runs the reducer, and carries out the resulting effects. */
package org.heatherhaven.node.control;
