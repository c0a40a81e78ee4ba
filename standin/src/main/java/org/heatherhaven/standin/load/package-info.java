/** An open-loop load generator: requests start at planned times regardless of earlier responses, with eager retries. */
package org.heatherhaven.standin.load;
