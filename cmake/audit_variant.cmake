# Copies one file of the decision code with a text replaced: -DIN=FILE -DOUT=FILE -DFROM=TEXT -DTO=TEXT
file(READ "${IN}" text)
string(REPLACE "${FROM}" "${TO}" text "${text}")
file(WRITE "${OUT}" "${text}")
